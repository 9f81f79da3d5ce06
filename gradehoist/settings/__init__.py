"""Settings in KDL 1, checked whole before anything starts; frozen records come out."""

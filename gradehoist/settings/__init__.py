"""Reads settings files in KDL 1 into immutable records, and checks them completely before anything starts."""

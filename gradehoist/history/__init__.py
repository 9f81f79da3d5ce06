"""Records of what processes requested, observed and did, and checkers that read such records alone."""

"""What processes asked, were answered and did, and checkers that read such records alone."""

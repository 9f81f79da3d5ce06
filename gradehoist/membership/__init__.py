"""A process of the program as a member of its fleet: what each role shares round the decisions."""

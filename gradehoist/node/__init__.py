"""The platform's front: one governor that speaks its line protocol, in one process."""

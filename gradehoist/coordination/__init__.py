"""What processes of one fleet share: a register of small records, sessions, members, generations. No I/O."""

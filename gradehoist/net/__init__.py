"""Tornado shells round the protocol package: they carry bytes and keep deadlines."""

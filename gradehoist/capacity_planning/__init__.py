"""Plans made ahead: shares for named events, the loss of any one hall included. Free of I/O."""

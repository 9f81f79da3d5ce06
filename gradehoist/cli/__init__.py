"""The command line: for each group of commands, one module that defines them and others that implement them.

The `*_commands` modules parse options and set exit codes. They import the implementation only when a command
runs, so that showing help and checking settings stay fast.
"""

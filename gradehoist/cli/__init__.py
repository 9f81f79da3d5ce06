"""The command line: one module of commands a group, and one of what each group does.

The `*_commands` modules parse options and set exit codes. They import what a command needs when it runs, so
that help and checks of settings are quick.
"""

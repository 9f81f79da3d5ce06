"""`python -m gradehoist` is the command line."""

from gradehoist.cli.main import main

main(prog_name="gradehoist")

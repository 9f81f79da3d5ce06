"""The simulator's wire, and the hosting of module instances behind it."""

"""Define the commands of the `bamboodeck` command line."""

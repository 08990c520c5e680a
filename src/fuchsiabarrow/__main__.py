"""Entry point of ``python -m fuchsiabarrow``."""

from fuchsiabarrow.commands import program

if __name__ == "__main__":
    program.main()

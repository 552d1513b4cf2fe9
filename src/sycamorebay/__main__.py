"""Entry point of ``python -m sycamorebay``."""

from sycamorebay.cli import main

if __name__ == "__main__":
    main()

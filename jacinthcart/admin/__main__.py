"""Entry point of `python -m jacinthcart.admin`."""

from jacinthcart.admin import main

if __name__ == '__main__':
    main()

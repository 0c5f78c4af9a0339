"""Start a program of the serving system: `python3 src/nettledeal_system.py data-plane|control-plane`."""

from nettledeal.programs.main import main

if __name__ == "__main__":
    main()

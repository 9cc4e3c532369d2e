"""Tools of the repository: a local fleet of real processes and the demo."""

"""Cases of the independent review, and their stand-ins."""

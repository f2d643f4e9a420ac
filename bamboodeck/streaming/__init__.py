"""Read engines' streams and splice them into complete answers."""

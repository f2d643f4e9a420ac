"""Place versions on engines by demand."""

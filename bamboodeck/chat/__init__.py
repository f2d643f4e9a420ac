"""Chat completions: admission, attempts, cascades and delivery."""

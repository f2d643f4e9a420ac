"""Price provider credits so that they are used up at expiry."""

"""Stand-ins and processes that the scripts of the third review share."""

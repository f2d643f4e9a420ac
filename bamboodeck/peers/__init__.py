"""Exchange messages between entry and controller processes."""

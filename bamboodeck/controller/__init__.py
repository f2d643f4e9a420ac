"""Run the controller, which relays for its zone and, by lease, the fleet."""

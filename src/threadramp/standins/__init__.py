"""Small fakes of the platform and of endpoints, for the demo and the proofs."""

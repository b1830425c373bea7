"""What the steps of several subjects share."""

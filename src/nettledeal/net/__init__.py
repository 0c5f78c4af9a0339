"""The agent's network side in three layers: transport, protocol and routing. It decides nothing."""

"""A seeded model of a fleet whose store comes back from older copies.

Runs the product's readers, tables, proofs, gossip and catalogues in virtual
time over a simulated network and a simulated store. By hand:
`python -m tests.readings.returns --help`.
"""

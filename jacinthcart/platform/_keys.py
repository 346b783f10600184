"""Keys of the platform's store."""

#: Prefix of the keys that the freshness proof must cover: configuration and
#: evacuations.
OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
#: The rest of the key is the name of an evacuated data centre.
EVACUATE_PREFIX = 'op/evacuate/'
#: The rest of the key is the id of the searcher that published the entry.
SERVER_PREFIX = 'servers/'

"""The tasks that let a front speak to its peers. Imported only where the configuration has (peers …)."""

package config

// Key paths in the configuration file that other packages use in errors.
const (
	KeyEdgeCacheClasses = "box.rules"
	KeyEdgeCacheListen  = "box.listen"
	KeyDiskCacheFolder  = "tier.folder"
)

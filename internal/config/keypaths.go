package config

// Keys of the configuration file that errors of other packages name.
const (
	KeyEdgeCacheClasses = "box.rules"
	KeyEdgeCacheListen  = "box.listen"
	KeyDiskCacheFolder  = "tier.folder"
)

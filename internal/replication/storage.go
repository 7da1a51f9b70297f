package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cairnfront/internal/replication/placement"
	"cairnfront/internal/replication/shard"
	"cairnfront/internal/replication/wal"
)

// reopenInterval is the time between two attempts to open a folder whose disk has failed.
const reopenInterval = time.Second

// openFolder opens a router's folder and makes its replicas from what it holds.
func openFolder(config Config) (*wal.WAL, map[int]*shard.Replica, error) {
	log, saved, err := wal.Open(config.Disk, config.Name, rand.Uint64)
	if err != nil {
		return nil, nil, fmt.Errorf("open replication: %w", err)
	}
	replicas := map[int]*shard.Replica{}
	for number, state := range saved {
		replica, err := shard.New(number, log.Identity().ID, state, nil)
		if err != nil {
			log.Close()
			return nil, nil, fmt.Errorf("open replication: %w", err)
		}
		replicas[number] = replica
	}
	return log, replicas, nil
}

// advance writes, sends and answers what the replicas want. A write that fails ends the replicas, and the node goes on
// without them; other errors end the node.
func (n *Node) advance() error {
	err := n.failure
	if err == nil {
		err = n.advanceReplicas()
	}
	if errors.Is(err, wal.ErrWriteFailed) {
		n.failure = nil
		n.suspendReplicas(err)
		return nil
	}
	return err
}

// suspendReplicas ends all replicas, as what is on the disk is not known, and tells the peers that none is up here. The
// router's own requests go on to other replicas.
//
// It guards against a disk that fails for a while and takes a router out of the record until it is restarted.
func (n *Node) suspendReplicas(err error) {
	n.config.Logger.Error("replicas suspended", "error", err.Error())
	n.closeLog()
	n.lastOpening = time.Now()
	for number, replica := range n.replicas {
		if voters, _ := replica.Members(); len(voters) > 0 {
			n.shardVoters[number] = voters
		}
	}
	clear(n.replicas)
	clear(n.requesters)
	n.setUp(false)
	n.sendHelloToAll()
}

// reopenFolder opens the folder again after its disk has failed, once an interval, and makes its replicas anew as at a
// start. A folder that is damaged, or another router's, ends the node.
func (n *Node) reopenFolder() {
	if n.wal != nil || time.Since(n.lastOpening) < reopenInterval {
		return
	}
	n.lastOpening = time.Now()
	log, replicas, err := openFolder(n.config)
	switch {
	case err == nil:
		n.resumeReplicas(log, replicas)
	case errors.Is(err, wal.ErrCorrupt), errors.Is(err, wal.ErrForeignOwner), errors.Is(err, wal.ErrNewerVersion):
		n.failure = err
	}
}

func (n *Node) resumeReplicas(log *wal.WAL, replicas map[int]*shard.Replica) {
	n.wal = log
	n.replicas = replicas
	n.identity = log.Identity()
	n.replicaID = n.identity.ID
	n.startCounts[n.replicaID] = n.identity.StartCount
	n.setUp(true)
	n.config.Logger.Info("replicas resumed", "shards", len(replicas))
	n.sendHelloToAll()
	n.beginShards()
}

// setUp says whether this router's replicas take part.
func (n *Node) setUp(up bool) {
	n.statuses[n.replicaID] = placement.ReplicaStatus{
		ID:   n.replicaID,
		Node: n.config.Name,
		Zone: n.config.Zone,
		Up:   up,
	}
}

// closeLog closes the folder, unless it is closed.
func (n *Node) closeLog() {
	if n.wal == nil {
		return
	}
	n.earlierSyncs += n.wal.SyncCount
	n.wal.Close()
	n.wal = nil
}

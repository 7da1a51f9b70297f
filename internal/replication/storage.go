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

// reopenInterval is the time between two attempts to reopen a folder after a disk failure.
const reopenInterval = time.Second

// openFolder opens a router's folder and restores its replicas.
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

// advance writes, sends and answers what the replicas have pending. If a write fails, the replicas
// are suspended and the node continues without them; other errors stop the node.
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

// suspendReplicas drops all replicas, because the content of the disk is unknown after a failed
// write, and announces to the peers that this router has no replica. Requests of this router are
// sent to the replicas of other routers.
//
// Without this, a temporary disk failure would exclude a router from replication until it is
// restarted.
func (n *Node) suspendReplicas(err error) {
	n.config.Logger.Error("replicas suspended", "error", err.Error())
	n.closeLog()
	n.lastOpenAttempt = time.Now()
	for number, replica := range n.replicas {
		if voters, _ := replica.Members(); len(voters) > 0 {
			n.shardVoters[number] = voters
		}
	}
	clear(n.replicas)
	clear(n.requesters)
	n.setReplicaUp(false)
	n.sendHelloToAll()
}

// reopenFolder tries to open the folder again after a disk failure, at most once per
// reopenInterval, and restores the replicas as at a start. A folder that is corrupt, belongs to
// another router, or was written by a newer version stops the node.
func (n *Node) reopenFolder() {
	if n.wal != nil || time.Since(n.lastOpenAttempt) < reopenInterval {
		return
	}
	n.lastOpenAttempt = time.Now()
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
	n.setReplicaUp(true)
	n.config.Logger.Info("replicas resumed", "shards", len(replicas))
	n.sendHelloToAll()
	n.beginShards()
}

// setReplicaUp marks this router's replica as up or down in the statuses.
func (n *Node) setReplicaUp(up bool) {
	n.statuses[n.replicaID] = placement.ReplicaStatus{
		ID:   n.replicaID,
		Node: n.config.Name,
		Zone: n.config.Zone,
		Up:   up,
	}
}

// closeLog closes the write-ahead log if it is open.
func (n *Node) closeLog() {
	if n.wal == nil {
		return
	}
	n.closedLogSyncs += n.wal.SyncCount
	n.wal.Close()
	n.wal = nil
}

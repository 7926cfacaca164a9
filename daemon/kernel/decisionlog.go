package kernel

import (
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/placement"
)

// maxShardNamesBytes is the length after which the list of shards in a log line is
// cut off with " ...".
const maxShardNamesBytes = 400

// decisionKey identifies decisions that share a log line.
type decisionKey struct {
	action, reason, service string
	member                  uint64
	balance                 *placement.Balance
}

// logDecisions logs the decisions of one step. Decisions that differ only in their
// shard share a line, because hundreds of shards move at once when a daemon leaves.
func (c *Controller) logDecisions(effects []control.Effect) {
	var order []decisionKey
	groups := map[decisionKey][]control.Decision{}
	for _, effect := range effects {
		d, ok := effect.(control.Decision)
		if !ok {
			continue
		}
		key := decisionKey{d.Action, d.Reason, d.Shard.Service, d.Member, d.Balance}
		if _, known := groups[key]; !known {
			order = append(order, key)
		}
		groups[key] = append(groups[key], d)
	}
	for _, key := range order {
		c.logGroup(key, groups[key])
	}
}

func (c *Controller) logGroup(key decisionKey, group []control.Decision) {
	fields := []zap.Field{zap.String("action", key.action), zap.String("reason", key.reason)}
	first := group[0]
	switch {
	case key.service == "":
	case len(group) == 1:
		fields = append(fields, zap.String("service", key.service), zap.Uint32("shard", first.Shard.Shard))
	default:
		fields = append(fields, zap.String("service", key.service), zap.String("shards", shardNames(group)), zap.Int("count", len(group)))
	}
	if len(group) == 1 && first.Generation != 0 {
		fields = append(fields, zap.Uint64("generation", first.Generation))
	}
	if key.member != 0 {
		fields = append(fields, zap.Uint64("member", key.member))
	}
	if first.Count != 0 {
		fields = append(fields, zap.Int("count", first.Count))
	}
	if b := first.Balance; b != nil {
		fields = append(fields, zap.String("service", b.Service), zap.Float64("highest", b.Highest), zap.Float64("lowest", b.Lowest),
			zap.Float64("bound", b.Bound), zap.Int("slowed", b.Slowed), zap.Uint64("highest_member", b.Member),
			zap.Float64("bears", b.Capacity), zap.Float64("hottest", b.Hottest))
	}
	c.log.Info("placement", fields...)
}

// shardNames lists the shards of a group in ascending order as "shard@generation".
// Consecutive shards of one generation are written as "first-last@generation".
func shardNames(group []control.Decision) string {
	slices.SortFunc(group, func(a, b control.Decision) int { return int(a.Shard.Shard) - int(b.Shard.Shard) })
	var text strings.Builder
	for i := 0; i < len(group); {
		if text.Len() > maxShardNamesBytes {
			text.WriteString(" ...")
			break
		}
		end := i + 1
		for end < len(group) && group[end].Shard.Shard == group[end-1].Shard.Shard+1 && group[end].Generation == group[i].Generation {
			end++
		}
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(strconv.FormatUint(uint64(group[i].Shard.Shard), 10))
		if end-i > 1 {
			text.WriteByte('-')
			text.WriteString(strconv.FormatUint(uint64(group[end-1].Shard.Shard), 10))
		}
		text.WriteByte('@')
		text.WriteString(strconv.FormatUint(group[i].Generation, 10))
		i = end
	}
	return text.String()
}

// Package plugins registers all plug-ins of the daemon by importing their packages.
package plugins

import (
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/admin"     // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/backend"   // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/balance"   // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/entry"     // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/explain"   // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/gateway"   // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/keeper"    // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/logclient" // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/owner"     // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/peer"      // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/relay"     // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/rollout"   // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/stall"     // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/suspects"  // register
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins/witness"   // register
)

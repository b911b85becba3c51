// Oleanderflow-front is a session-consistent database proxy for the databases
// of the platform.
package main

import (
	"net"
	"os"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/internal/process/background"
	"github.com/oleanderflow/oleanderflow/platform"
)

func main() {
	os.Exit(front.Run(platform.SettingsPath(), connect))
}

// connect returns the clients and decoders for the platform's own protocols.
func connect(s front.Settings) front.Platform {
	pacer := &background.Pacer{}
	return front.Platform{
		Store:              platform.NewStore(s.StoreAddress, front.UnacknowledgedTimeout, platform.WithPacer(pacer)),
		Promotions:         platform.NewPromotionClient(s.PromotionAddress, front.UnacknowledgedTimeout),
		Dialer:             &platform.Dialer{InstanceName: s.Name, UnacknowledgedTimeout: front.UnacknowledgedTimeout},
		WrapCaller:         func(c net.Conn) session.Caller { return platform.NewCaller(c, front.WriteTimeout) },
		DecodeVersion:      platform.NewConfigurationDecoder(pacer).Decode,
		DecodeEntry:        platform.DecodeEntry,
		ConfigurationTable: platform.ConfigurationTable,
		RegistryTable:      platform.RegistryTable,
		Pacer:              pacer,
	}
}

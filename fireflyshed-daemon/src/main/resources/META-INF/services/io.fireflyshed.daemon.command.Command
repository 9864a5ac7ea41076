io.fireflyshed.daemon.command.QuickstartCommand
io.fireflyshed.daemon.command.ServeCommand
io.fireflyshed.daemon.command.SettingsCommand
io.fireflyshed.daemon.command.StandInsCommand

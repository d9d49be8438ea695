package event

import "github.com/ebonyworks/ebonyworks"

// Events of configuration, numbered from 4001.
const (
	// ConfigurationAccepted is recorded when a configuration is in force.
	ConfigurationAccepted ebonyworks.EventID = 4001
	// ConfigurationRefused is recorded when a configuration is refused as a whole.
	ConfigurationRefused ebonyworks.EventID = 4002
	// ConfigurationSuperseded is recorded when a configuration lost against another of the same revision.
	ConfigurationSuperseded ebonyworks.EventID = 4003
	// ConfigurationBaseSkipped is recorded when a configuration isn't based on the one that it replaces.
	ConfigurationBaseSkipped ebonyworks.EventID = 4004
	// ConfigurationIncomplete is recorded when parts of a new configuration can't be had yet.
	ConfigurationIncomplete ebonyworks.EventID = 4005
	// ConfigurationFromServiceOnly is recorded when a host becomes ready without a peer that could confirm its configuration.
	ConfigurationFromServiceOnly ebonyworks.EventID = 4006
	// ConfigurationSettled is recorded when a host has checked that its configuration is the newest to be found.
	ConfigurationSettled ebonyworks.EventID = 4007
	// ConfigurationServiceUnavailable is recorded when the configuration service stops answering.
	ConfigurationServiceUnavailable ebonyworks.EventID = 4008
	// ConfigurationServiceStale is recorded when the configuration service answers with an older configuration than the one in force.
	ConfigurationServiceStale ebonyworks.EventID = 4009
	// ConfigurationServiceAvailable is recorded when the configuration service answers again.
	ConfigurationServiceAvailable ebonyworks.EventID = 4010
)

var configurationEntries = []Entry{
	{ID: ConfigurationAccepted, Level: Info, Message: "configuration accepted", Action: "None."},
	{ID: ConfigurationRefused, Level: Error, Message: "configuration refused", Action: "Correct the problems and publish a new revision; the configuration in force stays."},
	{ID: ConfigurationSuperseded, Level: Warning, Message: "configuration lost against another of the same revision", Action: "Two operators published at once: publish the losing change again, based on the one in force."},
	{ID: ConfigurationBaseSkipped, Level: Warning, Message: "configuration isn't based on the one it replaces", Action: "Check whether changes of the replaced configuration are lost."},
	{ID: ConfigurationIncomplete, Level: Warning, Message: "parts of a new configuration can't be had yet", Action: "Publish all parts before the head; if parts were overwritten, publish a new revision."},
	{ID: ConfigurationFromServiceOnly, Level: Warning, Message: "ready with a configuration that no peer confirmed", Action: "Expected at the first start of the fleet; otherwise check why peers can't be reached."},
	{ID: ConfigurationSettled, Level: Info, Message: "configuration is the newest to be found", Action: "None."},
	{ID: ConfigurationServiceUnavailable, Level: Warning, Message: "configuration service unavailable", Action: "Check the service; the configuration in force stays."},
	{ID: ConfigurationServiceStale, Level: Warning, Message: "configuration service answers with an older configuration", Action: "Check the replicas of the service; the configuration in force stays."},
	{ID: ConfigurationServiceAvailable, Level: Info, Message: "configuration service answers again", Action: "None."},
}

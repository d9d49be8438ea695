package settings

import (
	"reflect"
)

// RestartNeeded returns the names of the fields in which the loaded settings
// differ and that take effect only after a restart. Ticket keys take effect
// on a reload.
func (s Settings) RestartNeeded(loaded Settings) []string {
	var names []string
	before, after := reflect.ValueOf(s), reflect.ValueOf(loaded)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		if name == "TicketKeys" {
			continue
		}
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}

package mib

import (
	"fmt"
	"strings"

	"larkrouter/internal/snmp/ber"
)

// ModuleText returns the text of LARKROUTER-MIB in SMIv2 (RFC 2578 to 2580) for the given enterprise OID.
func ModuleText(arc ber.OID) string {
	var b strings.Builder
	printf := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	capitalize := func(s string) string { return strings.ToUpper(s[:1]) + s[1:] }
	printf(`LARKROUTER-MIB DEFINITIONS ::= BEGIN

IMPORTS
    MODULE-IDENTITY, OBJECT-TYPE, NOTIFICATION-TYPE, enterprises,
    Counter32, Counter64, Gauge32, Unsigned32, Integer32
        FROM SNMPv2-SMI
    DisplayString, TimeStamp, TruthValue
        FROM SNMPv2-TC
    MODULE-COMPLIANCE, OBJECT-GROUP, NOTIFICATION-GROUP
        FROM SNMPv2-CONF;

larkrouterMIB MODULE-IDENTITY
    LAST-UPDATED "202612010000Z"
    ORGANIZATION "larkrouter"
    CONTACT-INFO "The project's issues."
    DESCRIPTION
        "Access nodes of larkrouter, a SIP call router. The enterprise number
        is a placeholder: snmp.arc in the node's configuration moves it, and
        the first line below has to be changed alike."
    REVISION "202612010000Z"
    DESCRIPTION "First version."
    ::= { larkrouter %d }

larkrouter OBJECT IDENTIFIER ::= { enterprises %d }
larkNotifications OBJECT IDENTIFIER ::= { larkrouterMIB %d }
larkObjects OBJECT IDENTIFIER ::= { larkrouterMIB %d }
larkConformance OBJECT IDENTIFIER ::= { larkrouterMIB %d }
larkCompliances OBJECT IDENTIFIER ::= { larkConformance 1 }
larkGroups OBJECT IDENTIFIER ::= { larkConformance 2 }
`, moduleArc, arc[len(arc)-1], notificationsArc, objectsArc, conformanceArc)
	for _, group := range Groups {
		parent := group.Name
		if group.IsTable {
			entryType := capitalize(group.Name) + "Entry"
			printf("%sTable OBJECT-TYPE\n    SYNTAX SEQUENCE OF %s\n    MAX-ACCESS not-accessible\n    STATUS current\n"+
				"    DESCRIPTION \"%s\"\n    ::= { larkObjects %d }\n", group.Name, entryType, group.Description, group.ID)
			printf("%sEntry OBJECT-TYPE\n    SYNTAX %s\n    MAX-ACCESS not-accessible\n    STATUS current\n    DESCRIPTION \"A row.\"\n"+
				"    INDEX { %s }\n    ::= { %sTable 1 }\n", group.Name, entryType, group.Objects[0].Name, group.Name)
			printf("%s ::= SEQUENCE {", entryType)
			for i, object := range group.Objects {
				comma := ","
				if i == len(group.Objects)-1 {
					comma = ""
				}
				syntax, _, _ := strings.Cut(object.Kind.Syntax, " ")
				printf("    %s %s%s", object.Name, syntax, comma)
			}
			printf("}\n")
			parent = group.Name + "Entry"
		} else {
			printf("%s OBJECT IDENTIFIER ::= { larkObjects %d }\n", group.Name, group.ID)
		}
		for i, object := range group.Objects {
			access := "read-only"
			if object.IsIndex {
				access = "not-accessible"
			}
			printf("%s OBJECT-TYPE\n    SYNTAX %s\n    MAX-ACCESS %s\n    STATUS current\n    DESCRIPTION\n        \"%s\"\n"+
				"    ::= { %s %d }\n", object.Name, object.Kind.Syntax, access, wrapText(object.Description), parent, i+1)
		}
	}
	for _, notification := range Notifications {
		printf("%s NOTIFICATION-TYPE\n    OBJECTS { %s }\n    STATUS current\n    DESCRIPTION\n        \"%s\"\n"+
			"    ::= { larkNotifications %d }\n", notification.Name, strings.Join(notification.Objects, ", "),
			wrapText(notification.Description), notification.ID)
	}
	printf("larkCompliance MODULE-COMPLIANCE\n    STATUS current\n    DESCRIPTION \"Of an agent that serves every group.\"\n" +
		"    MODULE\n        MANDATORY-GROUPS {")
	for _, group := range Groups {
		printf("            %sGroup,", group.Name)
	}
	printf("            larkNotificationGroup\n        }\n    ::= { larkCompliances 1 }\n")
	for i, group := range Groups {
		var names []string
		for _, object := range group.Objects {
			if !object.IsIndex {
				names = append(names, object.Name)
			}
		}
		printf("%sGroup OBJECT-GROUP\n    OBJECTS {\n        %s\n    }\n    STATUS current\n    DESCRIPTION \"%s\"\n"+
			"    ::= { larkGroups %d }\n", group.Name, strings.Join(names, ",\n        "), group.Description, i+1)
	}
	var names []string
	for _, notification := range Notifications {
		names = append(names, notification.Name)
	}
	printf("larkNotificationGroup NOTIFICATION-GROUP\n    NOTIFICATIONS {\n        %s\n    }\n    STATUS current\n"+
		"    DESCRIPTION \"All notifications.\"\n    ::= { larkGroups %d }\n\nEND", strings.Join(names, ",\n        "), len(Groups)+1)
	return b.String()
}

// wrapText breaks a description into lines of at most 68 characters, indented by 8 spaces after the first.
func wrapText(s string) string {
	const width = 68
	var b strings.Builder
	lineLength := 0
	for _, w := range strings.Fields(s) {
		if lineLength > 0 && lineLength+1+len(w) > width {
			b.WriteString("\n        ")
			lineLength = 0
		} else if lineLength > 0 {
			b.WriteByte(' ')
			lineLength++
		}
		b.WriteString(w)
		lineLength += len(w)
	}
	return b.String()
}

// Package quetzallimit keeps what client accounts run within their caps, and their shares of a full
// pool by weight. Its systems run over the holdings of quetzalaccount and the tables of
// quetzalwork; package quetzalscheduler calls them in its tick order. It writes the table Holdings
// and the DivisionState of the World's accounts, and no other.
package quetzallimit

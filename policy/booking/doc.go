// Package booking keeps what all entries have running at a backend server in one
// place: the book of that server, which one entry keeps, its owner.
//
// Load pattern answered: many entries, each with a few requests a second, choose among
// many servers. What an entry hears of the others by way of reports is some hundred
// milliseconds old, and in that time a server begins several requests.
//
// Without it each entry takes a server for idle that others have just sent work to.
// Short requests wait behind prompts that their entry had not heard of, and are late,
// while other servers stand idle.
//
// An entry asks the owners of the few servers that come into question what runs there
// now, chooses, and tells the owner of the chosen one. Nobody grants anything: an owner
// that does not answer in time, or has gone, costs the age of the reports that the
// choice is made from then, and no request waits for it for long.
//
// Every entry works out by itself who owns a server, from the names of the entries that
// are up. Where views differ for a while two entries keep one book, each a part of it.
//
// The package does no I/O and reads no clock. A LoadTable is not safe for concurrent use.
package booking

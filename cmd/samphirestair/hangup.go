package main

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"

// SIGHUP asks a process to reload its settings. The constructor above ignores it as soon
// as the program is loaded, until catchSignals catches it: the Go runtime starts some
// milliseconds later, and by default SIGHUP ends the process.

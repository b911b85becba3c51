//go:build review

package main

import (
	"fmt"
	"os"
)

// cases has the cases by the names of their folders.
var cases = map[string]func(folder string){
	"6":  forgottenLog,
	"7":  lostPause,
	"8":  abortedWrite,
	"9":  ownConfirmation,
	"10": largeAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}

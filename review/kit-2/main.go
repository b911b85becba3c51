//go:build review

package main

import (
	"fmt"
	"os"
)

// cases has the cases by the names of their folders.
var cases = map[string]func(folder string){
	"6":  abortedWrite,
	"7":  forgottenLog,
	"8":  lostPause,
	"9":  largeAnswers,
	"10": ownConfirmation,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}

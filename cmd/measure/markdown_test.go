package main

import "testing"

func TestReplaceSection(t *testing.T) {
	page := "a\n<!-- measure:x -->\nold\n<!-- /measure:x -->\nb\n"
	got, err := replaceSection(page, "x", "new\n")
	if err != nil {
		t.Fatal(err)
	}
	if want := "a\n<!-- measure:x -->\n\nnew\n\n<!-- /measure:x -->\nb\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	if _, err := replaceSection(page, "y", ""); err == nil {
		t.Fatal("a page without the marker was accepted")
	}
}

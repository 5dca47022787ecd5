package rawserver

import (
	"slices"
	"strings"
)

// Text is a response, possibly after others.
type Text struct{ Name, text string }

// fieldsMark stands for the fields that a client requires in a response.
const fieldsMark = "{fields}"

// With returns the bytes of the response. Fields are the lines that the client requires in it.
func (t Text) With(fields string) string { return strings.ReplaceAll(t.text, fieldsMark, fields) }

// Pick returns the texts with the names. It panics if there is none with a name.
func Pick(texts []Text, names ...string) []Text {
	var picked []Text
	for _, name := range names {
		n := slices.IndexFunc(texts, func(t Text) bool { return t.Name == name })
		if n < 0 {
			panic("rawserver: no text " + name)
		}
		picked = append(picked, texts[n])
	}
	return picked
}

// sound is a whole response that follows a broken one.
const sound = "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"

// BrokenStatuses are responses whose status line is not one of the protocol.
var BrokenStatuses = []Text{
	{"status 000", "HTTP/1.1 000 Trouble\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status 000 without a length", "HTTP/1.1 000 Trouble\r\n" + fieldsMark + "\r\nwhole"},
	{"status 000 before a response", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n" + sound},
	{"status 099", "HTTP/1.1 099 Low\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status 600", "HTTP/1.1 600 High\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status 999", "HTTP/1.1 999 High\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"negative status", "HTTP/1.1 -20 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"negative zero", "HTTP/1.1 -00 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status of two digits", "HTTP/1.1 20 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"status of letters", "HTTP/1.1 2OO OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"no status", "HTTP/1.1\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n" + fieldsMark + "Connection: upgrade\r\nUpgrade: x\r\n\r\nwhole"},
	{"switch of protocols before a response", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"another protocol", "HTTPS/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"empty line before the status", "\r\nHTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
}

// BrokenFields are responses with a field line that is not one of the protocol.
var BrokenFields = brokenFields()

func brokenFields() []Text {
	lines := []Text{
		{"blank in a name", "Bad Name: x"},
		{"blank after a name", "Bad-Name : x"},
		{"tab in a name", "Bad\tName: x"},
		{"tab after a name", "Bad-Name\t: x"},
		{"blank before a name", " Bad-Name: x"},
		{"tab before a name", "\tBad-Name: x"},
		{"control byte in a name", "Bad\x01Name: x"},
		{"zero byte in a name", "Bad\x00Name: x"},
		{"delete in a name", "Bad\x7fName: x"},
		{"carriage return in a name", "Bad\rName: x"},
		{"byte above 127 in a name", "Bad\xe9Name: x"},
		{"separator in a name", "Bad(Name): x"},
		{"empty name", ": x"},
		{"no colon", "Bad-Name"},
		{"control byte in a value", "Bad: x\x01y"},
		{"carriage return in a value", "Bad: x\ry"},
		{"length with a blank after its name", "Content-Length : 2"},
		{"transfer coding with a blank after its name", "Transfer-Encoding : chunked"},
		{"folded transfer coding", "Bad: x\r\n Transfer-Encoding: chunked"},
	}
	var all []Text
	for _, line := range lines {
		all = append(all,
			Text{line.Name, "HTTP/1.1 200 OK\r\n" + fieldsMark + line.text + "\r\nContent-Length: 5\r\n\r\nwhole"},
			Text{line.Name + ", first line", "HTTP/1.1 200 OK\r\n" + line.text + "\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
			Text{line.Name + ", last line", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n" + line.text + "\r\n\r\nwhole"},
			Text{line.Name + ", without a length", "HTTP/1.1 200 OK\r\n" + fieldsMark + line.text + "\r\n\r\nwhole"},
			Text{line.Name + ", interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line.text + "\r\n\r\n" + sound},
			Text{line.Name + ", trailer", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nGood: x\r\n" + line.text + "\r\n\r\n"},
		)
	}
	return all
}

// BrokenFraming are responses whose length or transfer coding is not one of the protocol.
var BrokenFraming = []Text{
	{"length of letters", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: five\r\n\r\nwhole"},
	{"length with a sign", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: +5\r\n\r\nwhole"},
	{"negative length", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: -5\r\n\r\nwhole"},
	{"hexadecimal length", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 0x5\r\n\r\nwhole"},
	{"empty length", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: \r\n\r\nwhole"},
	{"length out of range", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 18446744073709551621\r\n\r\nwhole"},
	{"list of lengths", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5, 6\r\n\r\nwhole"},
	{"different lengths", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole"},
	{"length and transfer coding", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"transfer coding and length", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"unknown transfer coding", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: cow\r\n\r\nwhole"},
	{"empty transfer coding", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: \r\n\r\nwhole"},
	{"identity transfer coding", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: identity\r\n\r\nwhole"},
	{"two transfer codings", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"chunked twice", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"transfer coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"transfer coding and length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwhole"},
	{"transfer coding of a status without a body", "HTTP/1.1 204 No Content\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"length of a status without a body", "HTTP/1.1 204 No Content\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"length of letters, interim response", "HTTP/1.1 103 Early Hints\r\nContent-Length: x\r\n\r\n" + sound},
	{"length, interim response", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + sound},
	{"transfer coding, interim response", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + sound},
	{"unknown transfer coding, interim response", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: cow\r\n\r\n" + sound},
	{"length, trailer", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nContent-Length: 5\r\n\r\n"},
	{"transfer coding, trailer", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"chunk size of letters", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\nx\r\nwhole\r\n0\r\n\r\n"},
	{"chunk size with a sign", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n+5\r\nwhole\r\n0\r\n\r\n"},
	{"chunk longer than its size", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n3\r\nwhole\r\n0\r\n\r\n"},
	{"no last chunk", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n\r\n"},
}

// SoundBody is the body of the responses in Sound.
const SoundBody = "whole"

// Sound are whole responses of the protocol.
var Sound = []Text{
	{"length", sound},
	{"repeated length", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"},
	{"chunks", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: Chunked\r\n\r\n3\r\nwho\r\n2;name=\"v;\"\r\nle\r\n0\r\n\r\n"},
	{"chunk sizes in hexadecimal", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n0005\r\nwhole\r\n000;a=b\r\n\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\n!#$%&'*+-.^_`|~09az: \t\xe9 \r\n\r\n"},
	{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n" + sound},
	{"all characters of a token", "HTTP/1.1 200 OK\r\n" + fieldsMark + "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ: x\r\nContent-Length: 5\r\n\r\nwhole"},
	{"values", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Empty:\r\nBlank: \t \r\nTabs: a\tb\r\nHigh: \x80\xff\r\nColons: a:b: c\r\nContent-Length:5 \t\r\n\r\nwhole"},
	{"no reason", "HTTP/1.1 200\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"empty reason", "HTTP/1.1 200 \r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"any reason", "HTTP/1.1 200 All \t is w\xe9ll: 100%\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
	{"lines without carriage returns", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fieldsMark+"Content-Length: 5\r\n\r\nwhole", "\r", "")},
	{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + fieldsMark + "Content-Length: 5\r\n\r\nwhole"},
}

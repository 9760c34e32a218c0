package syncer

// DocumentText returns the text of a service document for the external tests.
var DocumentText = documentText

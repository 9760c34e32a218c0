package spread

// DocumentText returns the text of a document for tests.
var DocumentText = documentText

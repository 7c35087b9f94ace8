package hop

// MaxHeaderBytes bounds the header of a request or of an answer, in bytes: four times
// what configurations usually allow callers. A peer that sends one without end takes no
// more memory of a node than this for each connection.
const MaxHeaderBytes = 64 << 10

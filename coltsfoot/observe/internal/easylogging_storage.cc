// Defines the global state of easylogging++. It is linked into the library of easylogging++, since
// the linker can take that library's object file without any object file of coltsfoot's logger.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

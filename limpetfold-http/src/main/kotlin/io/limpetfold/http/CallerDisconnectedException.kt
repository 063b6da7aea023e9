package io.limpetfold.http

import java.io.IOException

/** The caller closed its connection before the response ended. */
class CallerDisconnectedException : IOException("the caller closed the connection before the answer ended")

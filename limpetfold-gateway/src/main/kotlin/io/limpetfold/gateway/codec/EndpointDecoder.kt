package io.limpetfold.gateway.codec

import com.github.michaelbull.result.Result
import io.limpetfold.directory.Endpoint
import io.limpetfold.store.StoredObject

/** Decodes one entry of the endpoint list. */
fun interface EndpointDecoder {
    /** Returns the endpoint, or a message that says why [stored] is not a usable entry. */
    fun decode(stored: StoredObject): Result<Endpoint, String>
}

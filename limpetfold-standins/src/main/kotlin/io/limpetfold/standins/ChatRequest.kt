package io.limpetfold.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The parts of a chat completion request that the engine stand-in uses. */
@Serializable
internal data class ChatRequest(
    val model: String = "",
    val messages: List<Message> = emptyList(),
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val priority: Int = 0,
) {
    /** One message of the conversation. */
    @Serializable
    data class Message(
        val role: String = "user",
        val content: String = "",
    )
}
